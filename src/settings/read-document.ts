/** Reads YAML and JSON files with a size limit. */
import { closeSync, openSync, readSync } from 'node:fs';
import { DocumentSyntaxError, parseDocumentText } from './parse-document.js';
import { SettingsError } from './settings-error.js';

/** Size of one read, in bytes. */
const READ_BYTES = 65_536;

/** Reads a text file of at most `maxBytes`. Throws {@link FileReadError}. */
export type FileReader = (path: string, maxBytes: number) => string;

/** Thrown if a file cannot be read as text. The message contains none of the file's content. */
export class FileReadError extends Error {
  override readonly name = 'FileReadError';
  readonly code = 'UNREADABLE_FILE';
}

/** Reads a file or pipe, and stops as soon as it exceeds the size limit. */
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

/** Reads and parses a YAML or JSON file. Throws {@link SettingsError} with the file name. */
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

/** Reads until the end of the file or until more than `maxBytes` have been read. */
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
