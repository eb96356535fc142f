#!/usr/bin/env node
/** Entry point of the `ferryspool` program. */
import { parseArguments } from './arguments.js';
import { checkCommand } from './commands/check.js';
import { runCli, type CommandTable } from './run-cli.js';

const commands: CommandTable = new Map([['check', checkCommand]]);

const interrupt = new AbortController();
const exitCode = await runCli(parseArguments(process.argv.slice(2)), commands, {
  output: process.stdout,
  errors: process.stderr,
  environment: process.env,
  interrupt: interrupt.signal,
});
// Handles that are still open, such as a node stopped by force, must not keep the process.
process.exit(exitCode);
