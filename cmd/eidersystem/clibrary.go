package main

// Importing C links the program against the system's C library, also where nothing else would: the settings of the build
// ask for it, and whoever starts the program may rely on it.

import "C"
