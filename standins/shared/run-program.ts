/** Life of a stand-in that runs as a program of its own. */

/** What a stand-in offers to its program. */
export interface RunningStandIn {
  /** Ports by name, printed as one JSON line on standard output once all of them listen. */
  readonly ports: Readonly<Record<string, number>>;
  /** A planned stop. */
  stop(): Promise<void>;
}

/** Prints the ports, then runs until SIGTERM or SIGINT. */
export function runProgram(standIn: RunningStandIn): void {
  process.stdout.write(`${JSON.stringify(standIn.ports)}\n`);
  const stop = (): void => {
    void standIn.stop().then(() => process.exit(0));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}
