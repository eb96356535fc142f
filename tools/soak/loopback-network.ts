/** Loopback networks: runs beside each other on one machine take different ones. */
import { once } from 'node:events';
import net from 'node:net';

/** Networks that are drawn from. */
const FIRST_NETWORK = 16;
const NETWORKS = 184;
/** Where a run listens, so that others see that its network is taken. */
const CLAIM_HOST = '255.254';
const CLAIM_PORT = 22_299;

/** Takes a free network, from a drawn one on; it is free again when the process ends. */
export async function claimNetwork(drawn: number): Promise<string> {
  for (let idx = 0; idx < NETWORKS; idx += 1) {
    const network = `127.${FIRST_NETWORK + ((drawn + idx) % NETWORKS)}`;
    if (await isFree(`${network}.${CLAIM_HOST}`)) {
      return network;
    }
  }
  throw new RangeError('no loopback network is free');
}

async function isFree(address: string): Promise<boolean> {
  const server = net.createServer().unref();
  server.listen(CLAIM_PORT, address);
  try {
    await once(server, 'listening');
    return true;
  } catch {
    return false;
  }
}
