Feature: Protocol with the network fabric

  Guards against a malformed Geneve datagram or inner packet that stops a balancer or is
  forwarded, and against built packets that a receiver would drop.

  Scenario: Inner packets survive encapsulation
    When generated datagrams of both IP versions are encapsulated and decapsulated
    Then each inner packet equals the original

  Scenario Outline: Geneve datagrams that must not be forwarded
    When a Geneve datagram with <fault> is decapsulated
    Then it is refused as "<reason>"

    Examples:
      | fault                  | reason                                  |
      | half a header          | shorter than the header                 |
      | version 1              | unknown version                         |
      | the control flag       | control packet                          |
      | another network        | other virtual network                   |
      | options beyond its end | options exceed the datagram             |
      | an option too long     | options exceed their length             |
      | a critical option      | unknown critical option                 |
      | a false critical flag  | unknown critical option                 |
      | an Ethernet frame      | not an IP packet of the stated type     |
      | nothing inside         | no inner packet                         |

  Scenario: Known and reserved parts that receivers ignore
    When a datagram with non-critical options and reserved bits is decapsulated
    Then its inner packet is returned

  Scenario: Generated datagrams
    When generated Geneve datagrams with changed bytes are decapsulated
    Then each gives an inner packet of the stated type or a reason

  Scenario: Built datagrams are valid
    When datagrams are built from generated flows and payloads
    Then their headers, lengths and checksums are valid
