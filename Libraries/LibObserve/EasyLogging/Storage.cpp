// easylogging++ requires that its storage is defined once in each program. It is defined in the library, so that tests need not do it.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
