/** Source of uniformly distributed numbers, seeded in tests and experiments. */
export interface RandomSource {
  /** A number in [0, 1). */
  next(): number;
}
