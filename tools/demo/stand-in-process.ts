/** Stand-ins as child processes. */
import { fileURLToPath } from 'node:url';
import type { CallTarget } from '../shared/call-client.js';
import { parseJsonLine, type Child, type ChildGroup } from '../shared/child-process.js';

/** A stand-in that runs. */
export interface StandInProcess {
  readonly child: Child;
  readonly serving: CallTarget;
  readonly control: CallTarget;
}

/** Path of a program that is named relative to the module at `moduleUrl`. */
export function programPath(moduleUrl: string, relative: string): string {
  return fileURLToPath(new URL(relative, moduleUrl));
}

/** Starts a program of a stand-in and waits until it listens. */
export async function startStandIn(
  children: ChildGroup,
  name: string,
  program: string,
  host: string,
  programArguments: readonly string[],
): Promise<StandInProcess> {
  const child = children.start(name, program, programArguments);
  const ports = await child.waitForLine(parseJsonLine);
  const serving = { host, port: Number(ports.port) };
  return { child, serving, control: { host, port: Number(ports.controlPort) } };
}
