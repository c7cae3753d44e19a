#pragma once

#include <Process/process.h>

#include <netinet/in.h>

namespace daisystile {

sockaddr_in toSocketAddress(const ip_address &address);
ip_address fromSocketAddress(const sockaddr_in &address);
/// Opens a non-blocking socket of a type such as SOCK_STREAM; -1 on failure, for example without free file descriptors.
int openSocket(int type);
/// Opens and binds a non-blocking socket; -1 on failure, for example when the address is in use.
int bindSocket(int type, const ip_address &address);
ip_address boundAddress(int handle);
/// Closes the connection with a TCP reset.
void closeWithReset(int handle);

} // namespace daisystile
