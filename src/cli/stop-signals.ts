/** Signals that stop a node: SIGTERM and a first SIGINT are planned stops, a second SIGINT forces. */
import type { RunningNode } from './running-node.js';

/** Where signals come from: `process`, or an emitter in tests. */
export interface SignalSource {
  on(signal: 'SIGTERM' | 'SIGINT', listener: () => void): unknown;
  off(signal: 'SIGTERM' | 'SIGINT', listener: () => void): unknown;
}

/** How a node came to its end. */
export type StopKind = 'planned' | 'forced';

/**
 * Stops `node` on signals and resolves when it has stopped. `onStopping` is told of the first
 * signal. Rejects when the node fails by itself or its planned stop does.
 */
export async function stopOnSignals(
  node: RunningNode,
  signals: SignalSource,
  onStopping: (signal: string) => void,
): Promise<StopKind> {
  let interrupts = 0;
  let force = (): void => undefined;
  let fail = (error: unknown): void => void error;
  const forced = new Promise<StopKind>((resolve, reject) => {
    force = () => resolve('forced');
    fail = reject;
  });
  const requestStop = (signal: string): void => {
    onStopping(signal);
    node.stop().catch(fail);
  };
  const onTerminate = (): void => requestStop('SIGTERM');
  const onInterrupt = (): void => {
    interrupts += 1;
    if (interrupts === 1) {
      requestStop('SIGINT');
      return;
    }
    node.abort();
    force();
  };
  signals.on('SIGTERM', onTerminate);
  signals.on('SIGINT', onInterrupt);
  try {
    return await Promise.race([node.stopped.then((): StopKind => 'planned'), forced]);
  } finally {
    signals.off('SIGTERM', onTerminate);
    signals.off('SIGINT', onInterrupt);
  }
}
