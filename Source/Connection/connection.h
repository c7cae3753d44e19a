#pragma once

/// Public header of the connection library: peer links, ownership, slots, membership.

#include "burn_slice.h"
#include "connection_error.h"
#include "control_codec.h"
#include "control_messages.h"
#include "datagram_socket.h"
#include "execute_runner.h"
#include "frame_reader.h"
#include "member_table.h"
#include "membership.h"
#include "owner_history.h"
#include "owner_map.h"
#include "ownership.h"
#include "peer_codec.h"
#include "peer_messages.h"
#include "peer_network.h"
#include "send_check.h"
#include "server_owner.h"
#include "slot_gate.h"
#include "slot_queue.h"
