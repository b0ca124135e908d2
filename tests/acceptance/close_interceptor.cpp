// A library that is loaded into a node with LD_PRELOAD. It blocks the node in shutdown() or close() of an
// accepted connection, so that a test can send bytes that cross the end of the connection.
//
// NETTLESTAND_CROSSING names a directory; without it the library does nothing. If the file `armed` there
// contains the port of the connection's peer, the library renames the file to `held`, and the call blocks
// until a test opens the named pipe `go`.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace {

template <class F>
F next_symbol(const char* name) {
  return reinterpret_cast<F>(dlsym(RTLD_NEXT, name));
}

int peer_port(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  if (getpeername(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0 || at.sin_family != AF_INET) return 0;
  return ntohs(at.sin_port);
}

void hold_if_armed(int fd) {
  static const char* const folder = std::getenv("NETTLESTAND_CROSSING");
  if (folder == nullptr) return;
  const int before = errno;
  const std::string armed = std::string(folder) + "/armed";
  int port = 0;
  if (std::FILE* file = std::fopen(armed.c_str(), "r")) {
    if (std::fscanf(file, "%d", &port) != 1) port = 0;
    std::fclose(file);
  }
  if (port != 0 && port == peer_port(fd) &&
      std::rename(armed.c_str(), (std::string(folder) + "/held").c_str()) == 0) {
    const int go = open((std::string(folder) + "/go").c_str(), O_RDONLY | O_CLOEXEC);
    if (go >= 0) next_symbol<int (*)(int)>("close")(go);
  }
  errno = before;
}

}  // namespace

extern "C" int shutdown(int fd, int how) noexcept {
  hold_if_armed(fd);
  return next_symbol<int (*)(int, int)>("shutdown")(fd, how);
}

extern "C" int close(int fd) {
  hold_if_armed(fd);
  return next_symbol<int (*)(int)>("close")(fd);
}
