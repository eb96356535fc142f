/** Finds the subcommand, runs it and turns its errors into diagnostics and exit codes. */
import { SettingsError } from '../settings/settings-error.js';
import { AdminAnswerError, AdminConnectionError } from './admin-error.js';
import type { ParsedArguments } from './arguments.js';
import { UsageError, type Command, type CommandContext } from './command.js';
import { ExitCode } from './exit-code.js';

/** Subcommands by name. */
export type CommandTable = ReadonlyMap<string, Command>;

/** Runs the named subcommand; never rejects. */
export async function runCli(
  parsed: ParsedArguments,
  commands: CommandTable,
  surroundings: Omit<CommandContext, 'parameters' | 'flags'>,
): Promise<ExitCode> {
  const { parameters, flags } = parsed;
  try {
    return await findCommand(parsed.command, commands)({ ...surroundings, parameters, flags });
  } catch (error) {
    surroundings.errors.write(`${diagnosticOf(error)}\n`);
    return exitCodeOf(error);
  }
}

function findCommand(name: string | undefined, commands: CommandTable): Command {
  const command = name === undefined ? undefined : commands.get(name);
  if (command === undefined) {
    const known = [...commands.keys()].join(', ');
    const given = name === undefined ? 'no command' : `unknown command ${JSON.stringify(name)}`;
    throw new UsageError(`${given}: expected one of ${known}; see ferryspool --help`);
  }
  return command;
}

function diagnosticOf(error: unknown): string {
  const isExpected =
    error instanceof UsageError ||
    error instanceof SettingsError ||
    error instanceof AdminAnswerError ||
    error instanceof AdminConnectionError;
  if (isExpected) {
    return error.message;
  }
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}

function exitCodeOf(error: unknown): ExitCode {
  if (error instanceof UsageError) {
    return ExitCode.Usage;
  }
  if (error instanceof AdminAnswerError || error instanceof AdminConnectionError) {
    return error.exitCode;
  }
  return error instanceof SettingsError ? ExitCode.InvalidInput : ExitCode.InternalError;
}
