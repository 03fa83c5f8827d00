Feature: Protocol with the network fabric

  Guards against malformed Geneve datagrams or inner packets that stop a balancer or are
  forwarded, and against built packets that a receiver would drop.

  Scenario: Encapsulation preserves inner packets
    When generated datagrams of both IP versions are encapsulated and decapsulated
    Then each inner packet equals the original

  Scenario Outline: Invalid Geneve datagrams are refused
    When a Geneve datagram with <fault> is decapsulated
    Then it is refused as "<reason>"

    Examples:
      | fault                  | reason                                  |
      | a truncated header     | shorter than the header                 |
      | version 1              | unknown version                         |
      | the control flag       | control packet                          |
      | another network        | other virtual network                   |
      | options beyond the end | options exceed the datagram             |
      | an option too long     | options exceed their length             |
      | a critical option      | unknown critical option                 |
      | only the critical flag | unknown critical option                 |
      | an Ethernet frame      | not an IP packet of the stated type     |
      | no inner packet        | no inner packet                         |

  Scenario: Non-critical options and reserved bits are ignored
    When a datagram with non-critical options and reserved bits is decapsulated
    Then its inner packet is returned

  Scenario: Datagrams with changed bytes are decoded or refused
    When generated Geneve datagrams with changed bytes are decapsulated
    Then each results in an inner packet of the stated type or in an error

  Scenario: Built datagrams are valid
    When datagrams are built from generated flows and payloads
    Then their headers, lengths and checksums are valid
