import { expect } from 'chai';
import { Metrics } from '../../src/runtime/metrics.js';

describe('Metrics', () => {
  it('adds to counters that are made at first use', async () => {
    const metrics = new Metrics();
    metrics.add('ferryspool_deltas_total');
    metrics.add('ferryspool_deltas_total', 2);
    expect(await metrics.text()).to.match(/^ferryspool_deltas_total 3$/m);
    expect(metrics.counterTotals().get('ferryspool_deltas_total')).to.equal(3);
  });

  it('shows declared counters at 0 with their help', async () => {
    const metrics = new Metrics();
    metrics.declareCounter('ferryspool_resets_total', 'Resets seen');
    expect(await metrics.text()).to.match(/# HELP ferryspool_resets_total Resets seen\n/);
    expect(await metrics.text()).to.match(/^ferryspool_resets_total 0$/m);
  });

  it('reads gauges when asked, and forgets labels that are gone', async () => {
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

  it('counts observations in buckets, and keeps nodes apart', async () => {
    const [one, other] = [new Metrics(), new Metrics()];
    one.histogram('ferryspool_request_seconds', 'Request time').observe(0.003);
    other.histogram('ferryspool_request_seconds', 'Request time');
    expect(await one.text()).to.match(/request_seconds_bucket\{le="0.005"\} 1/);
    expect(await other.text()).to.match(/request_seconds_count 0/);
  });
});
