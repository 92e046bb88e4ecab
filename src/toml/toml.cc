extern "C" {
#include "mc/toml.h"
}
