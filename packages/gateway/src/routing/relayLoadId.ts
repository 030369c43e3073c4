import { asId } from '@camphorbarrow/core';
import type { ServerId } from '@camphorbarrow/core';
import type { Peer } from '../peers/createPeerRegistry.js';

/** Id under which the load tracker counts requests relayed to a peer. */
export const relayLoadId = (peer: Peer): ServerId => asId(`host ${peer.heartbeat.host.id}`);
