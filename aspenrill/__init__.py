"""aspenrill: the decisions of a gateway that keeps short and long queries apart on shared engines."""
