// The version of the library and of the program; see https://semver.org.
#pragma once

#define NETTLESTAND_VERSION "0.2.0"
