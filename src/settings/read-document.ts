/** Reads YAML and JSON files of bounded size. */
import { closeSync, openSync, readSync } from 'node:fs';
import { DocumentSyntaxError, parseDocumentText } from './parse-document.js';
import { SettingsError } from './settings-error.js';

/** Size of one read, in bytes. */
const READ_BYTES = 65_536;

/** Gives the text of a file of at most `maxBytes`; throws {@link FileReadError}. */
export type FileReader = (path: string, maxBytes: number) => string;

/** A file that can not be read as text. The message contains nothing of it. */
export class FileReadError extends Error {
  override readonly name = 'FileReadError';
  readonly code = 'UNREADABLE_FILE';
}

/** Reads a file, also a pipe, and stops as soon as it is too large. */
export const readTextFile: FileReader = (path, maxBytes) => {
  const bytes = readBytes(path, maxBytes);
  if (bytes.length > maxBytes) {
    throw new FileReadError(`expected at most ${maxBytes} bytes`);
  }
  try {
    return new TextDecoder('utf-8', { fatal: true }).decode(bytes);
  } catch {
    throw new FileReadError('expected UTF-8 text');
  }
};

/** The value of a YAML or JSON file; throws {@link SettingsError} that names the file. */
export function readDocument(
  file: string,
  maxBytes: number,
  readFile: FileReader = readTextFile,
): unknown {
  try {
    return parseDocumentText(readFile(file, maxBytes));
  } catch (error) {
    if (error instanceof FileReadError || error instanceof DocumentSyntaxError) {
      throw new SettingsError(file, [{ path: '', expected: error.message }]);
    }
    throw error;
  }
}

/** At most one read more than `maxBytes`. */
function readBytes(path: string, maxBytes: number): Buffer {
  let descriptor: number | undefined;
  try {
    descriptor = openSync(path, 'r');
    const chunks: Buffer[] = [];
    let size = 0;
    while (size <= maxBytes) {
      const chunk = Buffer.alloc(READ_BYTES);
      const length = readSync(descriptor, chunk);
      if (length === 0) {
        break;
      }
      chunks.push(chunk.subarray(0, length));
      size += length;
    }
    return Buffer.concat(chunks);
  } catch (error) {
    const code = error instanceof Error && 'code' in error ? String(error.code) : 'unknown error';
    throw new FileReadError(`expected a readable file (${code})`);
  } finally {
    if (descriptor !== undefined) {
      closeSync(descriptor);
    }
  }
}
