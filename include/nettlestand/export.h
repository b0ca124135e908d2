// Marks the library's exported symbols, so that they are visible also when it is built with hidden
// visibility.
#pragma once

#define NETTLESTAND_API __attribute__((visibility("default")))
