/** Starting and stopping a listening server. */
import { once } from 'node:events';
import type { AddressInfo, Server, Socket } from 'node:net';

/** A server that listens. */
export interface Listener {
  readonly port: number;
  /** Stops listening and destroys every open connection. */
  close(): Promise<void>;
}

/** Listens on `port` (0 takes a free one) and keeps track of open connections. */
export async function listen(server: Server, host: string, port: number): Promise<Listener> {
  const sockets = new Set<Socket>();
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  server.listen(port, host);
  await once(server, 'listening');
  return {
    port: (server.address() as AddressInfo).port,
    close: () => closeServer(server, sockets),
  };
}

async function closeServer(server: Server, sockets: ReadonlySet<Socket>): Promise<void> {
  const closed = once(server, 'close');
  server.close();
  for (const socket of sockets) {
    socket.destroy();
  }
  await closed;
}
