"""aspenrill: a front end for shared query engines that keeps short and long queries apart."""
