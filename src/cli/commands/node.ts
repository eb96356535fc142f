/** `ferryspool node`: runs one node until it is told to stop. */
import { createLogger, type Logger } from '../../runtime/logger.js';
import { loadSettings } from '../../settings/load-settings.js';
import type { Command, CommandContext } from '../command.js';
import { ExitCode } from '../exit-code.js';
import type { NodeRunner, RunningNode } from '../running-node.js';
import { settingOverrides } from '../setting-flags.js';
import { stopOnSignals, type SignalSource } from '../stop-signals.js';

/** The command, over the function that starts a node. */
export function createNodeCommand(runNode: NodeRunner, signals: SignalSource): Command {
  return async (context: CommandContext) => {
    const settings = loadSettings(context.flags.settings, settingOverrides(context.flags));
    const logger = createLogger(
      settings.log.level,
      { machine: settings.machine.id },
      context.output,
    );
    let node: RunningNode;
    try {
      node = await runNode(settings);
    } catch (error) {
      logger.error('node-start-failed', { reason: reasonOf(error) });
      return ExitCode.InternalError;
    }
    logger.info('node-started', { ports: node.ports });
    return waitForStop(node, signals, logger);
  };
}

async function waitForStop(
  node: RunningNode,
  signals: SignalSource,
  logger: Logger,
): Promise<ExitCode> {
  try {
    const kind = await stopOnSignals(node, signals, (signal) =>
      logger.info('node-stopping', { signal }),
    );
    logger.info('node-stopped', { kind });
    return kind === 'planned' ? ExitCode.Success : ExitCode.ForcedStop;
  } catch (error) {
    logger.error('node-failed', { reason: reasonOf(error) });
    node.abort();
    return ExitCode.InternalError;
  }
}

function reasonOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
