import { expect } from 'chai';
import { Metrics } from '../../src/runtime/metrics.js';

describe('Metrics', () => {
  it('creates counters on first use and adds to them', async () => {
    const metrics = new Metrics();
    metrics.add('ferryspool_deltas_total');
    metrics.add('ferryspool_deltas_total', 2);
    expect(await metrics.text()).to.match(/^ferryspool_deltas_total 3$/m);
    expect(metrics.counterTotals().get('ferryspool_deltas_total')).to.equal(3);
  });

  it('exports declared counters at 0 with their help text', async () => {
    const metrics = new Metrics();
    metrics.declareCounter('ferryspool_resets_total', 'Resets seen');
    expect(await metrics.text()).to.match(/# HELP ferryspool_resets_total Resets seen\n/);
    expect(await metrics.text()).to.match(/^ferryspool_resets_total 0$/m);
  });

  it('reads gauges on each export and removes labels that are no longer reported', async () => {
    const metrics = new Metrics();
    let zones = ['a', 'b'];
    metrics.gauge('ferryspool_zones', 'Zones', () => zones.length);
    metrics.labelledGauge('ferryspool_zone_up', 'Zone up', ['zone'], () =>
      zones.map((zone) => ({ labels: { zone }, value: 1 })),
    );
    expect(await metrics.text()).to.match(/ferryspool_zones 2\n[^]*zone="b"/);
    zones = ['a'];
    expect(await metrics.text()).to.match(/ferryspool_zones 1\n/);
    expect(await metrics.text()).not.to.contain('zone="b"');
  });

  it('counts observations in buckets, separately for each instance', async () => {
    const [first, second] = [new Metrics(), new Metrics()];
    first.histogram('ferryspool_request_seconds', 'Request time').observe(0.003);
    second.histogram('ferryspool_request_seconds', 'Request time');
    expect(await first.text()).to.match(/request_seconds_bucket\{le="0.005"\} 1/);
    expect(await second.text()).to.match(/request_seconds_count 0/);
  });
});
