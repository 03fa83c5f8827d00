"""bramleystair, a layer-4 load balancer with stateless entry nodes."""
