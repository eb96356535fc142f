/** Runs subcommands inside the test process. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArguments } from '../../src/cli/arguments.js';
import type { ExitCode } from '../../src/cli/exit-code.js';
import { runCli, type CommandTable } from '../../src/cli/run-cli.js';

export interface CliResult {
  readonly exitCode: ExitCode;
  readonly output: string;
  readonly errors: string;
}

/** Runs `argv` with `commands`; `onOutput` sees everything written so far after each write. */
export async function runCommand(
  commands: CommandTable,
  argv: readonly string[],
  onOutput: (text: string) => void = () => undefined,
  interrupt: AbortSignal = new AbortController().signal,
): Promise<CliResult> {
  let output = '';
  let errors = '';
  const exitCode = await runCli(parseArguments(argv), commands, {
    output: {
      write: (text) => {
        output += text;
        onOutput(output);
      },
    },
    errors: { write: (text) => (errors += text) },
    environment: {},
    interrupt,
  });
  return { exitCode, output, errors };
}

/** A temporary folder with `files`; `remove` deletes it. */
export function temporaryFiles(files: Readonly<Record<string, string>>): {
  path: (name: string) => string;
  remove: () => void;
} {
  const folder = mkdtempSync(join(tmpdir(), 'ferryspool-cli-'));
  for (const [name, text] of Object.entries(files)) {
    writeFileSync(join(folder, name), text);
  }
  return {
    path: (name) => join(folder, name),
    remove: () => rmSync(folder, { recursive: true }),
  };
}
