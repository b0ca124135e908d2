// What the library's binary shows, also where it is built with hidden visibility.
#pragma once

#define NETTLESTAND_API __attribute__((visibility("default")))
