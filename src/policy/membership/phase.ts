/** The phase that a side announces. */
export type Phase = 'serving' | 'leaving' | 'down';
