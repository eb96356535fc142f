/** `ferryspool check`: checks a settings file or a configuration document. */
import { stringify } from 'yaml';
import { defaultSettings } from '../../settings/default-settings.js';
import { readDocument } from '../../settings/read-document.js';
import { SettingsError } from '../../settings/settings-error.js';
import { checkDocument, type CheckedDocument } from '../check-document.js';
import { MAX_INPUT_FILE_BYTES, UsageError, type Command, type CommandContext } from '../command.js';
import { ExitCode } from '../exit-code.js';

/** Checks the named file; without one, `--print` prints all defaults. */
export const checkCommand: Command = (context) => Promise.resolve(check(context));

function check(context: CommandContext): ExitCode {
  const [file, ...rest] = context.parameters;
  if (rest.length > 0) {
    throw new UsageError('check: expected one file');
  }
  if (file === undefined) {
    return printDefaults(context);
  }
  try {
    report(context, file, checkDocument(file, readDocument(file, MAX_INPUT_FILE_BYTES)));
    return ExitCode.Success;
  } catch (error) {
    if (error instanceof SettingsError && context.flags.json === true) {
      context.output.write(`${JSON.stringify({ file, ok: false, faults: error.faults })}\n`);
      return ExitCode.InvalidInput;
    }
    throw error;
  }
}

function printDefaults({ flags, output }: CommandContext): ExitCode {
  if (flags.print !== true) {
    throw new UsageError('check: expected a file, or --print');
  }
  output.write(render(defaultSettings(), flags.json === true));
  return ExitCode.Success;
}

function report({ flags, output }: CommandContext, file: string, checked: CheckedDocument): void {
  if (flags.print === true) {
    output.write(render(checked.printable, flags.json === true));
    return;
  }
  const summary = { file, ok: true, kind: checked.kind };
  output.write(
    flags.json === true ? `${JSON.stringify(summary)}\n` : `${file}: ${checked.kind} valid\n`,
  );
}

function render(value: unknown, asJson: boolean): string {
  return asJson ? `${JSON.stringify(value, null, 2)}\n` : stringify(value);
}
