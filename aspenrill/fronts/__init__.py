"""The client protocols, Thrift and TDS: requests in, exactly one final answer for each."""
