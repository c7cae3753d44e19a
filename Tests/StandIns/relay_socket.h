#pragma once

#include <Process/process.h>

#include <netinet/in.h>

namespace daisystile {

sockaddr_in toSocketAddress(const ip_address &address);
ip_address fromSocketAddress(const sockaddr_in &address);
/// A non-blocking socket of a type such as SOCK_STREAM; -1 when there are no handles left.
int openSocket(int type);
/// A bound socket, or -1 when the address is taken.
int bindSocket(int type, const ip_address &address);
ip_address boundAddress(int handle);
/// Closes so that the other side sees a reset.
void closeWithReset(int handle);

} // namespace daisystile
