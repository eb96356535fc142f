/** The identity of a node that is run without sockets; nothing connects to its addresses. */
import type { PeerIdentity } from '../../src/membership/peer-identity.js';

const HOST = '127.0.0.1';
const PORT = 1;

/** Where all peers of such a node are reached. */
export const VIRTUAL_RELAY = { address: HOST, port: PORT };

/** The identity of the node `id`. */
export function virtualIdentity(id: string, incarnation = 1): PeerIdentity {
  const place = { address: HOST, controlPort: PORT, relayPort: PORT, zone: 'z1', region: 'r1' };
  return { id, incarnation, ...place };
}
