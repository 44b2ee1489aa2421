package org.celerygw.daemon.peer;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.io.IOException;
import java.util.List;
import org.celerygw.api.gen.peer.Frame;

/**
 * Reads and writes frames, each preceded by its length as a varint. A length above the limit is rejected before the
 * frame itself is read.
 */
final class FrameCodec extends ByteToMessageCodec<Frame> {
    /** Bytes of a frame that are reserved for the fields beside the request or reply. */
    static final int RESERVED_BYTES = 1024;

    private static final int MAX_VARINT_BYTES = 5;
    private static final int ENCODE_BUFFER_BYTES = 4096;

    private final int maxFrameBytes;

    FrameCodec(int maxFrameBytes) {
        super(Frame.class);
        this.maxFrameBytes = maxFrameBytes;
    }

    @Override
    protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) throws IOException {
        int length = frame.getSerializedSize();
        out.ensureWritable(CodedOutputStream.computeUInt32SizeNoTag(length) + length);
        CodedOutputStream codedOutput =
                CodedOutputStream.newInstance(new ByteBufOutputStream(out), ENCODE_BUFFER_BYTES);
        codedOutput.writeUInt32NoTag(length);
        frame.writeTo(codedOutput);
        codedOutput.flush();
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws InvalidProtocolBufferException {
        in.markReaderIndex();
        int length = readLength(in);
        if (length > maxFrameBytes) {
            throw new TooLongFrameException("frame of " + length + " bytes exceeds the maximum frame size");
        }
        if (length < 0 || in.readableBytes() < length) {
            in.resetReaderIndex();
            return;
        }
        out.add(Frame.parseFrom(in.nioBuffer(in.readerIndex(), length)));
        in.skipBytes(length);
    }

    /** Returns the frame length, or -1 while the length prefix is incomplete. */
    private static int readLength(ByteBuf in) {
        long value = 0;
        for (int i = 0; i < MAX_VARINT_BYTES; i++) {
            if (!in.isReadable()) {
                return -1;
            }
            byte next = in.readByte();
            value |= (long) (next & 0x7f) << (7 * i);
            if (next >= 0) {
                return (int) Math.min(value, Integer.MAX_VALUE);
            }
        }
        throw new CorruptedFrameException("frame length prefix is longer than 5 bytes");
    }
}
