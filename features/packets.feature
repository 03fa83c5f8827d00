Feature: Packet headers and resets

  Guards against packets that stop a daemon, packets that are assigned to another flow,
  and resets that the receiver ignores.

  Scenario: Headers of generated packets are read
    When generated IPv4 and IPv6 packets with options are read
    Then each result has the flow, flags and numbers of the packet

  Scenario: Truncated packets and random bytes are refused
    When generated packets cut at every length and 20000 random packets are read
    Then every truncated packet is refused, and no packet raises an exception

  Scenario Outline: Fragments and packets of other protocols are refused
    When a packet with <change> is read
    Then it is refused with "<detail>"

    Examples:
      | change          | detail     |
      | more fragments  | fragment   |
      | fragment offset | fragment   |
      | IPv6 fragment   | fragment   |
      | protocol 1      | protocol 1 |

  Scenario: Resets are valid and have the sequence numbers that the receiver expects
    When resets are built for generated segments
    Then their checksums are valid and their numbers follow RFC 9293
    And no reset answers a reset or a datagram
