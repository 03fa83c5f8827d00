Feature: Packet headers and resets

  Guards against a packet that stops the daemon, a packet assigned to another flow, and
  a reset that the receiver ignores.

  Scenario: Generated packets are read back
    When generated IPv4 and IPv6 packets with options are read
    Then each gives the flow, flags and numbers that it was built from

  Scenario: Truncated packets and random bytes are refused
    When generated packets are cut at every length and 20000 random packets are read
    Then every cut packet is refused, and none raises an exception

  Scenario Outline: Packets without usable ports are refused
    When a packet with <change> is read
    Then it is refused with "<detail>"

    Examples:
      | change          | detail     |
      | more fragments  | fragment   |
      | fragment offset | fragment   |
      | IPv6 fragment   | fragment   |
      | protocol 1      | protocol 1 |

  Scenario: Resets are valid and have the numbers that the receiver expects
    When resets are built for generated segments
    Then their checksums are valid and their numbers follow RFC 9293
    And no reset answers a reset or a datagram
