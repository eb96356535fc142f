/** `ferryspool watch KIND [--from CURSOR]`: prints changes until it is interrupted. */
import { readAnswer, watchLineSchema, type WatchLine } from '../admin-answer.js';
import { createAdminClient } from '../admin-client.js';
import type { Command, CommandContext } from '../command.js';
import { ExitCode } from '../exit-code.js';
import { collectionPath, requireAtMost } from '../resource-path.js';

/** Follows a kind; without a cursor, the present state comes first. */
export const watchCommand: Command = async (context) => {
  requireAtMost(context.parameters, 1);
  const path = collectionPath(context.parameters[0]);
  const { from } = context.flags;
  const resume = from === undefined ? '' : `&from=${encodeURIComponent(from)}`;
  const printer = new WatchPrinter(context);
  try {
    await createAdminClient(context).stream(
      { method: 'GET', path: `${path}?watch=1${resume}` },
      (line) => printer.print(line),
    );
  } catch (error) {
    if (!context.interrupt.aborted) {
      throw error;
    }
  } finally {
    printer.printCursor();
  }
  return context.interrupt.aborted ? ExitCode.Success : printer.exitCode;
};

/** Prints events, and remembers where the watch can be resumed. */
class WatchPrinter {
  private cursor: string | undefined;
  private endCode: string | undefined;

  constructor(private readonly context: CommandContext) {
    this.cursor = context.flags.from;
  }

  /** Exit code for a stream that the node ended. */
  get exitCode(): ExitCode {
    return this.endCode === 'TOO_SLOW' ? ExitCode.ListAgain : ExitCode.Unreachable;
  }

  print(line: string): void {
    const event = readAnswer(watchLineSchema, parseLine(line));
    if (event.type === 'bookmark') {
      this.cursor = event.cursor;
    }
    if (event.type === 'end') {
      this.endCode = event.code;
      this.context.errors.write(`${event.code}: ${event.message}\n`);
    }
    const text = this.context.flags.json === true ? `${line}\n` : textOf(event);
    this.context.output.write(text);
  }

  printCursor(): void {
    if (this.cursor !== undefined && this.endCode !== 'TOO_SLOW') {
      this.context.errors.write(`resume with --from ${this.cursor}\n`);
    }
  }
}

function textOf(event: WatchLine): string {
  switch (event.type) {
    case 'upsert':
      return `+ ${event.kind}/${event.name} ${event.version}\n`;
    case 'delete':
      return `- ${event.kind}/${event.name}\n`;
    case 'bookmark':
    case 'end':
      return '';
  }
}

function parseLine(line: string): unknown {
  try {
    return JSON.parse(line) as unknown;
  } catch {
    return undefined;
  }
}
