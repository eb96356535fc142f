/** Shapes of deployments: what is taken, what is refused, and what requests ask of back ends. */
import { readdirSync, readFileSync } from 'node:fs';
import { expect } from 'chai';
import { loadShape, parseShape, ShapeError } from '../../tools/soak/soak-shape.js';
import { answerBody, demandOf, demandQuery } from '../../tools/soak/work-demand.js';

const FOLDER = 'deploy/shapes';
const WHOLE = readFileSync(`${FOLDER}/pipelined.yaml`, 'utf8');

describe('the shape of a deployment', () => {
  it('is valid in every file of the repository', () => {
    const files = readdirSync(FOLDER);
    files.forEach((file) => expect(() => loadShape(`${FOLDER}/${file}`)).not.to.throw());
    expect(files.length).to.be.greaterThan(1);
  });

  const wrong = [
    { what: 'an unknown field', text: `${WHOLE}\ncolour: blue\n`, field: 'colour' },
    {
      what: 'a share above 1',
      text: WHOLE.replace('longShare: 0.01', 'longShare: 2'),
      field: 'work.longShare',
    },
    { what: 'no depth', text: WHOLE.replace(/^depth.*$/m, ''), field: 'depth' },
    {
      what: 'too many connections',
      text: WHOLE.replace(/^connections.*$/m, 'connections: 999'),
      field: 'connections',
    },
    {
      what: 'text for a number',
      text: WHOLE.replace(/^restMs.*$/m, 'restMs: soon'),
      field: 'restMs',
    },
  ];
  for (const { what, text, field } of wrong) {
    it(`is refused with its field: ${what}`, () => {
      expect(() => parseShape(text, 'shape')).to.throw(ShapeError, field);
    });
  }
});

describe('what a request asks of its back end', () => {
  it('is read from its target as it was written', () => {
    const demand = { workMs: 120, answerBytes: 2_000, isChunked: true, calls: 2 };
    expect(demandOf(`/scans/p1${demandQuery(demand)}`)).to.deep.equal(demand);
    expect(demandOf('/scans/p1?n=3')).to.equal(undefined);
  });

  it('sizes the body of its answer, which names the request', () => {
    const demand = { workMs: 1, answerBytes: 50, isChunked: false, calls: 0 };
    expect(answerBody('p1', `/scans/p1${demandQuery(demand)}`)).to.have.length(50);
    expect(answerBody('p1', '/scans/p1')).to.equal('body p1');
  });
});
