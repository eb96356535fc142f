/** Reads and validates the certificates in the settings, before the node starts. */
import { createPrivateKey, X509Certificate, type KeyObject } from 'node:crypto';
import { resolve } from 'node:path';
import { FileReadError, type FileReader } from './read-document.js';
import type { SettingsFault } from './settings-error.js';
import type { TlsSettings } from './settings.js';

/** Maximum size of a PEM file, in bytes. */
const MAX_PEM_FILE_BYTES = 1_048_576;
/** Distinguishes PEM text from a file path. */
const PEM_MARKER = '-----BEGIN';

/** Certificates as PEM text, and the faults that prevent their use. */
export interface CertificateResult {
  readonly tls: TlsSettings;
  readonly faults: readonly SettingsFault[];
}

/** Reads the PEM files, relative to `directory`, and checks that they are valid and that the key matches. */
export function readCertificates(
  tls: TlsSettings,
  directory: string,
  readFile: FileReader,
): CertificateResult {
  const faults: SettingsFault[] = [];
  const read = (name: keyof TlsSettings): string => {
    try {
      return pemText(tls[name], directory, readFile);
    } catch (error) {
      const reason = error instanceof FileReadError ? error.message : 'unreadable';
      faults.push({ path: `tls.${name}`, expected: `expected PEM text or a PEM file; ${reason}` });
      return '';
    }
  };
  const text: TlsSettings = {
    certificatePem: read('certificatePem'),
    keyPem: read('keyPem'),
    authorityPem: read('authorityPem'),
  };
  return { tls: text, faults: faults.length > 0 ? faults : findFaults(text) };
}

function pemText(value: string, directory: string, readFile: FileReader): string {
  if (value.includes(PEM_MARKER)) {
    return value;
  }
  return readFile(resolve(directory, value), MAX_PEM_FILE_BYTES);
}

function findFaults({ certificatePem, keyPem, authorityPem }: TlsSettings): SettingsFault[] {
  const faults: SettingsFault[] = [];
  const certificate = parseCertificate(certificatePem);
  const authority = parseCertificate(authorityPem);
  const key = parseKey(keyPem);
  if (certificate === undefined) {
    faults.push({ path: 'tls.certificatePem', expected: 'expected a PEM certificate' });
  }
  if (authority === undefined) {
    faults.push({ path: 'tls.authorityPem', expected: 'expected a PEM certificate' });
  }
  if (key === undefined) {
    faults.push({ path: 'tls.keyPem', expected: 'expected a PEM private key without passphrase' });
  }
  if (certificate !== undefined && key !== undefined && !certificate.checkPrivateKey(key)) {
    faults.push({ path: 'tls.keyPem', expected: 'expected the key of tls.certificatePem' });
  }
  return faults;
}

function parseCertificate(pem: string): X509Certificate | undefined {
  try {
    return new X509Certificate(pem);
  } catch {
    return undefined;
  }
}

function parseKey(pem: string): KeyObject | undefined {
  try {
    return createPrivateKey(pem);
  } catch {
    return undefined;
  }
}
