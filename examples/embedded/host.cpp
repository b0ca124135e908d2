// A program that uses the plugin through its one exported function only.
extern "C" int grades(int count, const char* const* addresses);

int main(int argc, char** argv) { return grades(argc - 1, argv + 1); }
