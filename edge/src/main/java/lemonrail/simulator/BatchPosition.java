package lemonrail.simulator;

/** How far the input is read or acted on; error messages and warnings name it. */
final class BatchPosition {

    private static final long NUMBER_UNREAD = -1;

    private long batchNumber = NUMBER_UNREAD;
    /** Null outside of any instance's part. */
    private String instance;

    /** Starts a batch whose number is not read yet. */
    void startBatch() {
        batchNumber = NUMBER_UNREAD;
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

    /** Returns the name of the instance whose part is read or acted on, or null. */
    String instance() {
        return instance;
    }

    @Override
    public String toString() {
        String batch = "batch " + (hasBatchNumber() ? String.valueOf(batchNumber) : "(number unread)");
        return instance == null ? batch : batch + ", instance " + instance;
    }
}
