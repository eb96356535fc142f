/**
 * The table of what back ends say. Guards against a header of the users' pages that the product passes over without
 * anybody having decided so.
 */
import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import * as names from '../../platform/names.js';

const TABLE_HEADING = '## What back ends say';
/** Headers of answers that the users' pages name, and the status that says something about a back end. */
const ANSWER_HEADERS = [
  'Cold-Remaining-Ms',
  'Connection',
  'Content-Encoding',
  'Instance-Id',
  'Keep-Alive',
  'Not-Executed',
  'Request-Id',
  'Retry-After',
  'Server-Leaving',
  'Server-Limit',
  'Server-Load',
  'Server-Signature',
  'status 421',
];
/** Headers of requests and of the store. */
const OTHER_HEADERS: readonly string[] = [
  names.DEADLINE_HEADER,
  names.INSTANCE_HEADER,
  names.CALLER_SERVICE_HEADER,
  names.STORE_ERA_HEADER,
];

/** The first cells of the table's rows. */
function documentedNames(): string[] {
  const text = readFileSync('docs/PLATFORM.md', 'utf8');
  const section = text.slice(text.indexOf(TABLE_HEADING)).split('\n## ')[0] ?? '';
  const rows = section.split('\n').filter((line) => line.startsWith('|'));
  return rows.slice(2).map((row) => (row.split('|')[1] ?? '').replaceAll('`', '').trim());
}

describe('the table of what back ends say', () => {
  it('has a row for each header of an answer', () => {
    expect(documentedNames().sort()).to.deep.equal([...ANSWER_HEADERS].sort());
  });

  it('has a row for each header of answers that platform/ knows', () => {
    const known = Object.entries(names)
      .filter(([constant]) => constant.endsWith('_HEADER'))
      .map(([, header]) => String(header))
      .filter((header) => !OTHER_HEADERS.includes(header));
    expect(documentedNames().map((name) => name.toLowerCase())).to.include.members(known);
  });
});
