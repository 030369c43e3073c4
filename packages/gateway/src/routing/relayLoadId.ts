import { asId } from '@camphorbarrow/core';
import type { ServerId } from '@camphorbarrow/core';
import type { Peer } from '../peers/createPeerRegistry.js';

/** Name under which requests passed on to a peer are counted in the load book. */
export const relayLoadId = (peer: Peer): ServerId => asId(`host ${peer.heartbeat.host.id}`);
