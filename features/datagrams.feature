Feature: Datagrams and tokens
  Guards against a datagram that ends a task, and a token that admits a packet to
  another service.

  Scenario: Any bytes decode to a frame or to a reason
    When random bytes are decoded
    Then each result is a frame or a named reason

  Scenario: A frame survives encoding and decoding
    When random frames are encoded and decoded
    Then each frame is unchanged

  Scenario Outline: A token is refused with a named reason
    Given a token for service 7 and flow 99
    When it is used <use>
    Then it is refused with <reason>

    Examples:
      | use                  | reason              |
      | for another service  | token_wrong_service |
      | for another flow     | token_forged        |
      | after its expiry     | token_expired       |
      | with a changed byte  | token_forged        |
      | under a removed key  | token_unknown_key   |
