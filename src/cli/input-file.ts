/** Reads a YAML or JSON file that an operator names. */
import { readFileSync, statSync } from 'node:fs';
import { DocumentSyntaxError, parseDocumentText } from '../settings/parse-document.js';
import { SettingsError } from '../settings/settings-error.js';

/** Largest file, in bytes. */
export const MAX_INPUT_FILE_BYTES = 268_435_456;

/** The parsed content; throws {@link SettingsError} that names the file. */
export function readInputFile(file: string): unknown {
  const text = readText(file);
  try {
    return parseDocumentText(text);
  } catch (error) {
    const expected = error instanceof DocumentSyntaxError ? error.message : 'expected YAML or JSON';
    throw new SettingsError(file, [{ path: '', expected }]);
  }
}

function readText(file: string): string {
  let size: number;
  try {
    size = statSync(file).size;
    if (size <= MAX_INPUT_FILE_BYTES) {
      return readFileSync(file, 'utf8');
    }
  } catch (error) {
    const code = error instanceof Error && 'code' in error ? String(error.code) : 'unknown error';
    throw new SettingsError(file, [{ path: '', expected: `expected a readable file (${code})` }]);
  }
  const expected = `expected at most ${MAX_INPUT_FILE_BYTES} bytes`;
  throw new SettingsError(file, [{ path: '', expected }]);
}
