#pragma once

#include "ip_address.h"
#include "process_error.h"

namespace daisystile {

/// Opens a non-blocking TCP socket that listens on the address; the caller owns it. Errors: process_error{address_malformed},
/// process_error{address_in_use}, process_error{address_absent}, process_error{address_not_permitted},
/// process_error{out_of_descriptors}, process_error{library_failed}.
leaf::result<int> openListeningSocket(const ip_address &address, int backlog);

/// The address of a socket, with the port that was chosen for port 0.
ip_address addressOfSocket(int handle);

/// The error of a call that was to bind a socket to the address and left this errno.
process_error bindError(int error, const ip_address &address);

/// Lets a listener of this host open the port that this outgoing connection got.
void sharePort(int handle);

} // namespace daisystile
