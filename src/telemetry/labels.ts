/** Label values of a series. Keep the number of values per label small: each combination is a separate series. */
export type Labels = Readonly<Record<string, string>>;
