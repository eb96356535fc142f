/** Identities of nodes that run without sockets; nothing connects to their addresses. */
import type { PeerIdentity } from '../../src/membership/peer-identity.js';

const HOST = '127.0.0.1';
const PORT = 1;

/** The relay address of every virtual node. */
export const VIRTUAL_RELAY = { address: HOST, port: PORT };

export function virtualIdentity(id: string, incarnation = 1): PeerIdentity {
  const location = { address: HOST, controlPort: PORT, relayPort: PORT, zone: 'z1', region: 'r1' };
  return { id, incarnation, ...location };
}
