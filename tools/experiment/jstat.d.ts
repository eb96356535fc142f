/** Types of the part of jstat 1.9 that this project uses. */
declare module 'jstat' {
  const jStat: {
    mean(values: readonly number[]): number;
    /** Of a sample where `isSample`, else of a whole population. */
    stdev(values: readonly number[], isSample: boolean): number;
    /** `share` from 0 to 1. */
    percentile(values: readonly number[], share: number): number;
    readonly studentt: { inv(share: number, degreesOfFreedom: number): number };
  };
  export default jStat;
}
