/** One measured quantity at several sizes, with the line fitted through the values. */
export interface Measurement {
  readonly subject: string;
  readonly unit: 'CPU us' | 'memory bytes' | 'sent bytes';
  /** What the size counts, for example peers. */
  readonly per: string;
  readonly points: readonly { readonly size: number; readonly value: number }[];
  /** Growth of the value per unit of size. */
  readonly slope: number;
  readonly intercept: number;
}
