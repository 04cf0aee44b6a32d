package lemonrail.core;

/** A token bucket: tokens arrive at a constant rate up to the burst capacity. It starts full. */
public final class TokenBucket {

    private double tokensPerMs;
    private double burstCapacity;
    private double tokens;
    /** When tokens were last added; 0 before the first use. */
    private double refilledAtMs;

    /** Creates a full bucket. */
    public TokenBucket(double tokensPerMs, double burstCapacity) {
        this.tokensPerMs = tokensPerMs;
        this.burstCapacity = burstCapacity;
    }

    /** Changes rate and burst capacity. The tokens in the bucket are kept. */
    public void setRate(double newTokensPerMs, double newBurstCapacity) {
        tokensPerMs = newTokensPerMs;
        burstCapacity = newBurstCapacity;
    }

    /** Takes a token if one is available, and returns whether it did. */
    public boolean tryTake(double nowMs) {
        tokens = refilledAtMs == 0
                ? burstCapacity
                : Math.min(burstCapacity, tokens + tokensPerMs * (nowMs - refilledAtMs));
        refilledAtMs = nowMs;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
