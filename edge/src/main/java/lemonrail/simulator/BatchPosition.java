package lemonrail.simulator;

/** The batch and the instance that are being read or handled, for error messages and warnings. */
final class BatchPosition {

    private static final long NO_BATCH_NUMBER = -1;

    private long batchNumber = NO_BATCH_NUMBER;
    /** The instance whose part is being read or handled; null outside a part. */
    private String instance;

    /** Starts a batch whose number has not been read yet. */
    void startBatch() {
        batchNumber = NO_BATCH_NUMBER;
        instance = null;
    }

    void setBatchNumber(long number) {
        batchNumber = number;
    }

    long batchNumber() {
        return batchNumber;
    }

    boolean hasBatchNumber() {
        return batchNumber >= 0;
    }

    void enterInstance(String name) {
        instance = name;
    }

    void leaveInstance() {
        instance = null;
    }

    /** Returns the name of the instance whose part is being read or handled, or null outside a part. */
    String instance() {
        return instance;
    }

    @Override
    public String toString() {
        String batch = "batch " + (hasBatchNumber() ? String.valueOf(batchNumber) : "(number not read yet)");
        return instance == null ? batch : batch + ", instance " + instance;
    }
}
