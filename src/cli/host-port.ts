/** Reads `ip:port` and `[ipv6]:port`. */
import { isIP } from 'node:net';
import { UsageError } from './command.js';

const MAX_PORT = 65_535;
const HOST_PORT_PATTERN = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/;

/** An IP number and a port. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Parses the value of `flag`; throws {@link UsageError} that names flag and value. */
export function parseHostPort(flag: string, text: string): HostPort {
  const match = HOST_PORT_PATTERN.exec(text);
  const host = match?.[1] ?? match?.[2] ?? '';
  const port = Number(match?.[3]);
  const isPort = port >= 1 && port <= MAX_PORT;
  if (isIP(host) === 0 || !isPort) {
    throw new UsageError(`${flag} = ${JSON.stringify(text)}: expected ip:port or [ipv6]:port`);
  }
  return { host, port };
}
