#include "standins/links/listen_probe.h"

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace nettlestand::standins {

ListenProbe::ListenProbe() : netlink_(socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG)) {}

ListenState ListenProbe::query(const Address& at) {
  struct {
    nlmsghdr head;
    inet_diag_req_v2 ask;
  } out{};
  out.head.nlmsg_len = sizeof out;
  out.head.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  out.head.nlmsg_flags = NLM_F_REQUEST;
  out.ask.sdiag_family = AF_INET;
  out.ask.sdiag_protocol = IPPROTO_TCP;
  out.ask.idiag_states = 1U << TCP_LISTEN;
  out.ask.id.idiag_sport = htons(static_cast<std::uint16_t>(at.port));
  in_addr ip{};
  inet_pton(AF_INET, at.ip.c_str(), &ip);
  out.ask.id.idiag_src[0] = ip.s_addr;
  out.ask.id.idiag_cookie[0] = out.ask.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  if (!netlink_ || send(netlink_.get(), &out, sizeof out, 0) != sizeof out) return ListenState::kListening;
  alignas(nlmsghdr) std::array<char, 8192> in{};
  const ssize_t got = recv(netlink_.get(), in.data(), in.size(), 0);
  if (got < static_cast<ssize_t>(sizeof(nlmsghdr))) return ListenState::kListening;
  const auto* head = reinterpret_cast<const nlmsghdr*>(in.data());
  if (head->nlmsg_type == NLMSG_ERROR) {
    const auto* error = static_cast<const nlmsgerr*>(NLMSG_DATA(head));
    return error->error == -ENOENT ? ListenState::kNotListening : ListenState::kListening;
  }
  const auto* told = static_cast<const inet_diag_msg*>(NLMSG_DATA(head));
  if (told->idiag_state != TCP_LISTEN) return ListenState::kNotListening;
  return told->idiag_rqueue > told->idiag_wqueue ? ListenState::kQueueFull : ListenState::kListening;
}

}  // namespace nettlestand::standins
