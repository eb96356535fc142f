/** What every subcommand is given, and what it gives back. */
import type { ExitCode } from './exit-code.js';

/** Largest document that a command reads, in bytes. */
export const MAX_INPUT_FILE_BYTES = 268_435_456;

/** Takes text for the terminal or a pipe. */
export interface TextSink {
  write(text: string): unknown;
}

/** Flags of all subcommands, as the command line gives them. */
export interface CommandFlags {
  readonly settings?: string | undefined;
  readonly set?: string[] | undefined;
  readonly machineId?: string | undefined;
  readonly machineAddress?: string | undefined;
  readonly zone?: string | undefined;
  readonly region?: string | undefined;
  readonly callerPort?: string | undefined;
  readonly relayPort?: string | undefined;
  readonly controlPort?: string | undefined;
  readonly adminPort?: string | undefined;
  readonly seed?: string[] | undefined;
  readonly logLevel?: string | undefined;
  readonly print?: boolean | undefined;
  readonly json?: boolean | undefined;
  readonly address?: string | undefined;
  readonly token?: string | undefined;
  readonly from?: string | undefined;
  readonly ifMatch?: string | undefined;
  readonly create?: boolean | undefined;
}

/** Surroundings of one run. */
export interface CommandContext {
  /** Arguments after the name of the command. */
  readonly parameters: readonly string[];
  readonly flags: CommandFlags;
  /** Results. */
  readonly output: TextSink;
  /** Diagnostics. */
  readonly errors: TextSink;
  /** Environment variables. */
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Aborted when the user interrupts a command that would go on by itself. */
  readonly interrupt: AbortSignal;
}

/** Runs one subcommand; resolves with the exit code of the process. */
export type Command = (context: CommandContext) => Promise<ExitCode>;

/** Wrong use of the command line. */
export class UsageError extends Error {
  override readonly name = 'UsageError';
  readonly code = 'USAGE';
}
