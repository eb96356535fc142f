/** `npm run capacity`: writes docs/CAPACITY.md from the reports of scale runs. */
import { existsSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { format, resolveConfig } from 'prettier';
import type { LoadReport } from '../load/load-report.js';
import { capacityPage } from './capacity-page.js';
import type { ScaleReport } from './scale-report.js';

const REPORT_FOLDER = 'reports';
const REPORT_NAME = /^scale-\d+(-shared)?(-ramped)?(-until-[a-z-]+)?\.json$/;
const LOAD_REPORT = join(REPORT_FOLDER, 'load.json');
const PAGE = 'docs/CAPACITY.md';

const names = existsSync(REPORT_FOLDER)
  ? readdirSync(REPORT_FOLDER).filter((name) => REPORT_NAME.test(name))
  : [];
if (names.length === 0) {
  process.stderr.write(`no reports in ${REPORT_FOLDER}: run npm run scale first\n`);
  process.exit(2);
}
const reports = names.map(readReport);
const load = existsSync(LOAD_REPORT)
  ? (JSON.parse(readFileSync(LOAD_REPORT, 'utf8')) as LoadReport)
  : undefined;
const previous = existsSync(PAGE) ? readFileSync(PAGE, 'utf8') : '';
const options = (await resolveConfig(PAGE)) ?? {};
writeFileSync(
  PAGE,
  await format(capacityPage(reports, previous, load), { ...options, filepath: PAGE }),
);
process.stdout.write(`wrote ${PAGE} from ${names.length} reports\n`);

/** Reports of before documents could be shared do not say that they were not. */
function readReport(name: string): ScaleReport {
  const report = JSON.parse(readFileSync(join(REPORT_FOLDER, name), 'utf8')) as ScaleReport;
  return { ...report, sharesDocuments: report.sharesDocuments ?? false };
}
